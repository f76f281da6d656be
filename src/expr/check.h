// The checker of the rule language: resolves names, determines types, folds constants, and makes sure that an attribute
// which may be absent is used only where it is known to be present.
#ifndef CROFTRUN_EXPR_CHECK_H_
#define CROFTRUN_EXPR_CHECK_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "expr/tree.h"

namespace croftrun::expr {

// What a rule file has defined so far. A definition can refer only to those before it, so none can be recursive.
struct Scope {
  explicit Scope(const Schema& s) : schema(s), inputs(s.attributes) {
    enumerations = s.enumerations;
    enumerations["weekday"] = {"mon", "tue", "wed", "thu", "fri", "sat", "sun"};
  }
  struct Function {
    std::vector<std::string> parameters;  // empty for `let`
    Tree body;
  };
  struct Map {
    std::size_t index = 0;
    Type key_type = Type::kInt, value_type = Type::kInt;
    std::string key_enumeration;
    std::size_t max_octets = 0;  // of a text value
  };
  // Returns the index of the input that holds a calendar value, and adds the input on the first use.
  std::size_t AddCalendarInput(CalendarKind kind, const std::string& zone_name);
  // Loads a time zone once per file. The name must be known to exist.
  std::shared_ptr<const TimeZone> LoadTimeZone(const std::string& zone_name);

  const Schema& schema;
  std::map<std::string, std::vector<std::string>> enumerations;
  std::vector<Attribute> inputs;  // those of the schema, then those that RuleSet::AddDerivedInputs adds
  std::vector<CalendarInput> calendar;
  bool in_rule_file = false;  // calendar and counters can be used only in a rule file
  std::string default_zone = "UTC";
  std::map<std::string, Function> functions;
  std::map<std::string, Tree> lists;  // kInList nodes; the items follow the first child
  std::map<std::string, Map> maps;
  std::vector<std::shared_ptr<const ConstantMap>> map_values;
  std::map<std::string, std::shared_ptr<const TimeZone>> time_zones;
  std::size_t expanded_nodes = 0;  // made by inlining definitions and lists; bounded
};

// Returns the source form of an expression, with definitions inlined.
std::string Render(const Node& node, const Scope& scope);

// Checks one expression.
class Checker {
 public:
  Checker(Scope* scope, const Limits& limits, Reporter* reporter)
      : scope_(scope), limits_(limits), reporter_(reporter) {}
  // Checks a whole expression. `expected` is empty if any type is allowed. Returns false if errors were reported.
  bool Check(Node& node, std::optional<Type> expected);
  // Inlines the definitions that the body of a new definition refers to. Its other names are marked, so that they
  // cannot refer to definitions that follow it or to itself.
  bool ExpandDefinitions(Node& node, const std::vector<std::string>& parameters);
  // Reports unknown names in the body of a definition, so that a typing error is found even if nothing uses the
  // definition. `parameters` are the names of its parameters, which are known.
  bool CheckNames(const Node& node, const std::vector<std::string>& parameters);
  // Checks that the node is a constant of the type of `prototype`, such as an item of a list that it is compared with.
  bool CheckConstant(Node& node, const Node& prototype);

 private:
  using Present = std::set<std::size_t>;  // indexes of the attributes that are known to be present

  bool CheckNode(Node& node, const Node* peer, const Present& present);
  bool CheckByKind(Node& node, const Node* peer, const Present& present);
  bool CheckLiteral(Node& node);
  bool CheckName(Node& node, const Node* peer, const Present& present, bool absent_allowed);
  bool CheckCall(Node& node, const Node* peer, const Present& present);
  bool CheckLookup(Node& node, const Present& present);
  bool CheckBinary(Node& node, const Present& present);
  bool CheckComparison(Node& node, const Present& present);
  bool CheckArithmetic(Node& node);
  bool CheckIn(Node& node, const Present& present);
  bool InlineDefinition(Node& node, const Scope::Function& function);
  bool MakeCalendarInput(Node& node, CalendarKind kind, const std::string& zone);
  void CollectPresent(const Node& node, Present* present) const;
  void ReportTypeMismatch(const Node& node, Type expected);
  bool ExpectType(const Node& node, Type type);
  // Converts `node` to the type of `peer` where the language allows it: an integer to a double, a text to E.164.
  // Returns false if an error was reported.
  bool Coerce(Node& node, const Node& peer);
  void FoldConstants(Node& node);
  // Whether the type of the node is known without the other operand, unlike that of a word of an enumeration.
  bool HasOwnType(const Node& node) const;
  void ReportUnknownName(const Node& node);

  Scope* scope_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t depth_ = 0;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_CHECK_H_
