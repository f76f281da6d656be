// Parts of conditions as text, for people who ask why a rule matched.
#include "expr/arithmetic.h"
#include "expr/check.h"

namespace croftrun::expr {
namespace {

std::string Two(std::int64_t number) { return (number < 10 ? "0" : "") + std::to_string(number); }

std::string Number(const Node& node, const Scope& scope) {
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
      const std::string text = std::to_string(seconds / 3600) + ":" + Two(seconds / 60 % 60);
      return seconds % 60 == 0 ? text : text + ":" + Two(seconds % 60);
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
  const auto part = [&](std::size_t i) { return Render(*node.parts[i], scope); };
  const auto list = [&](std::size_t from) {
    std::string text;
    for (std::size_t i = from; i < node.parts.size(); ++i) {
      if (i >= from + 8) return text + ", ...";
      text += (i == from ? "" : ", ") + part(i);
    }
    return text;
  };
  switch (node.shape) {
    case Shape::kConstant:
      return IsText(node.type) ? "\"" + node.token.value + "\"" : Number(node, scope);
    case Shape::kName:
      return node.constant ? Number(node, scope) : std::string(node.token.text);
    case Shape::kUnary:
      return std::string(node.sign) + (node.sign == "not" ? " (" + part(0) + ")" : part(0));
    case Shape::kBinary: {
      const bool joins = node.sign == "and" || node.sign == "or";
      const std::string text = part(0) + " " + std::string(node.sign) + " " + part(1);
      return joins ? "(" + text + ")" : text;
    }
    case Shape::kIn:
      return part(0) + " in [" + list(1) + "]";
    case Shape::kRange:
      return part(0) + " in " + part(1) + " .. " + part(2);
    case Shape::kMatches:
      return part(0) + " matches \"" + node.token.value + "\"";
    case Shape::kHas:
      return "has(" + std::string(node.token.text) + ")";
    case Shape::kOr:
      return part(0) + " default " + part(1);
    case Shape::kIf:
      return "if " + part(0) + " then " + part(1) + " else " + part(2);
    case Shape::kLength:
      return "length(" + part(0) + ")";
    case Shape::kCall:
      return std::string(node.token.text) + "(" + list(0) + ")";
    case Shape::kLookup:
      return std::string(node.token.text) + "[" + part(0) + "]";
    case Shape::kToDouble:
      return part(0);
  }
  return "?";
}

}  // namespace croftrun::expr
