// Generates programs from checked trees, and finds the common subexpressions that are evaluated once for all rules.
#ifndef CROFTRUN_EXPR_GENERATE_H_
#define CROFTRUN_EXPR_GENERATE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "expr/check.h"

namespace croftrun::expr {

// Finds common subexpressions by value numbering: equivalent subexpressions get the same number.
class CommonSubexpressions {
 public:
  // Numbers the nodes of a tree, which must outlive the generation of the programs.
  void Add(Node& root);
  // Returns the subexpressions that are worth a shared program: they occur more than once and cost more than reading a
  // cached value. They are in the order of their numbers, so that each one follows those that it contains.
  std::vector<const Node*> WorthSharing() const;

 private:
  struct Subexpression {
    const Node* node = nullptr;
    std::size_t count = 0, weight = 0;
  };
  std::unordered_map<std::string, std::uint32_t> value_numbers_;
  std::vector<Subexpression> subexpressions_ = std::vector<Subexpression>(1);  // by value number, from 1
};

// Generates the program of one expression.
class Generator {
 public:
  // Index of the shared program by value number.
  using SharedPrograms = std::unordered_map<std::uint32_t, std::uint32_t>;
  Generator(const Scope& scope, const Limits& limits, Reporter* reporter,
            const SharedPrograms* shared_indexes = nullptr, const std::vector<Program>* shared_programs = nullptr)
      : scope_(scope),
        limits_(limits),
        reporter_(reporter),
        shared_indexes_(shared_indexes),
        shared_programs_(shared_programs) {}
  // Returns nothing if an error was reported.
  std::optional<Program> Generate(const Node& node);

 private:
  std::size_t EmitOp(Op op, std::size_t operand = 0, std::uint64_t cost = 1);
  void PatchJump(std::size_t jump) { program_.code_[jump].operand = static_cast<std::uint32_t>(program_.code_.size()); }
  void EmitConstant(std::int64_t number);
  void EmitTextConstant(const std::string& text);
  void EmitNode(const Node& node);
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
  const SharedPrograms* shared_indexes_;
  const std::vector<Program>* shared_programs_;
  const Node* root_ = nullptr;
  Program program_;
  bool failed_ = false;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_GENERATE_H_
