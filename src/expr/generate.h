// Trees that were checked to programs, and which of their parts are worked out once for all rules.
#ifndef CROFTRUN_EXPR_GENERATE_H_
#define CROFTRUN_EXPR_GENERATE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "expr/check.h"

namespace croftrun::expr {

// Numbers the parts of trees so that those that mean the same have the same number, and counts them.
class Sharing {
 public:
  // The tree has to stay until the programs are made.
  void Add(Node& root);
  // The parts that are worth a place of their own: they occur more than once and cost more than looking the place up.
  // In the order of their numbers, so that a part stands behind those it holds.
  std::vector<const Node*> Worth() const;

 private:
  struct Part {
    const Node* node = nullptr;
    std::size_t count = 0, weight = 0;
  };
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<Part> parts_ = std::vector<Part>(1);  // by number, from 1
};

class Generator {
 public:
  // `places`: number of a part to its shared program.
  using Places = std::unordered_map<std::uint32_t, std::uint32_t>;
  Generator(const Scope& scope, const Limits& limits, Reporter* reporter, const Places* places = nullptr,
            const std::vector<Program>* shared = nullptr)
      : scope_(scope), limits_(limits), reporter_(reporter), places_(places), shared_(shared) {}
  std::optional<Program> Make(const Node& node);

 private:
  std::size_t Put(Op op, std::size_t a = 0, std::uint64_t cost = 1);
  void Here(std::size_t jump) { program_.code_[jump].a = static_cast<std::uint32_t>(program_.code_.size()); }
  void Constant(std::int64_t number);
  void TextConstant(const std::string& text);
  void Emit(const Node& node);
  void EmitCall(const Node& node);
  void EmitHash(const Node& node);
  void EmitBinary(const Node& node);
  void EmitText(const Node& node);
  void EmitRange(const Node& node);
  void EmitIn(const Node& node);
  void EmitMatches(const Node& node);

  const Scope& scope_;
  const Limits& limits_;
  Reporter* reporter_;
  const Places* places_;
  const std::vector<Program>* shared_;
  const Node* root_ = nullptr;
  Program program_;
  bool failed_ = false;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_GENERATE_H_
