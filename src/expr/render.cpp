// Renders conditions as text, to explain why a rule matched or did not.
#include "expr/arithmetic.h"
#include "expr/check.h"

namespace croftrun::expr {
namespace {

std::string TwoDigits(std::int64_t number) { return (number < 10 ? "0" : "") + std::to_string(number); }

std::string RenderConstant(const Node& node, const Scope& scope) {
  switch (node.type) {
    case Type::kBool:
      return node.number != 0 ? "true" : "false";
    case Type::kDouble: {
      std::string text = std::to_string(arithmetic::AsDouble(node.number));
      return text.substr(0, text.find_last_not_of('0') + 1);
    }
    case Type::kDuration:
      return node.number % 1'000'000 == 0 ? std::to_string(node.number / 1'000'000) + "s"
                                          : std::to_string(node.number / 1'000) + "ms";
    case Type::kTime: {
      const std::int64_t seconds = node.number / 1'000'000;
      const std::string text = std::to_string(seconds / 3600) + ":" + TwoDigits(seconds / 60 % 60);
      return seconds % 60 == 0 ? text : text + ":" + TwoDigits(seconds % 60);
    }
    case Type::kEnum: {
      const auto words = scope.enumerations.find(node.enumeration);
      const auto index = static_cast<std::size_t>(node.number);
      if (words != scope.enumerations.end() && index < words->second.size()) return words->second[index];
      break;
    }
    default:
      break;
  }
  return node.token.text.empty() ? std::to_string(node.number) : std::string(node.token.text);
}

}  // namespace

std::string Render(const Node& node, const Scope& scope) {
  const auto part = [&](std::size_t i) { return Render(*node.children[i], scope); };
  const auto list = [&](std::size_t from) {
    std::string text;
    for (std::size_t i = from; i < node.children.size(); ++i) {
      if (i >= from + 8) return text + ", ...";
      text += (i == from ? "" : ", ") + part(i);
    }
    return text;
  };
  switch (node.kind) {
    case NodeKind::kConstant:
      return IsText(node.type) ? "\"" + node.token.value + "\"" : RenderConstant(node, scope);
    case NodeKind::kName:
      return node.constant ? RenderConstant(node, scope) : std::string(node.token.text);
    case NodeKind::kUnary:
      return std::string(node.op) + (node.op == "not" ? " (" + part(0) + ")" : part(0));
    case NodeKind::kBinary: {
      const bool joins = node.op == "and" || node.op == "or";
      const std::string text = part(0) + " " + std::string(node.op) + " " + part(1);
      return joins ? "(" + text + ")" : text;
    }
    case NodeKind::kInList:
      return part(0) + " in [" + list(1) + "]";
    case NodeKind::kInRange:
      return part(0) + " in " + part(1) + " .. " + part(2);
    case NodeKind::kMatches:
      return part(0) + " matches \"" + node.token.value + "\"";
    case NodeKind::kHas:
      return "has(" + std::string(node.token.text) + ")";
    case NodeKind::kDefault:
      return part(0) + " default " + part(1);
    case NodeKind::kIf:
      return "if " + part(0) + " then " + part(1) + " else " + part(2);
    case NodeKind::kLength:
      return "length(" + part(0) + ")";
    case NodeKind::kCall:
      return std::string(node.token.text) + "(" + list(0) + ")";
    case NodeKind::kLookup:
      return std::string(node.token.text) + "[" + part(0) + "]";
    case NodeKind::kToDouble:
      return part(0);
  }
  return "?";
}

}  // namespace croftrun::expr
