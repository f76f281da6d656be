// Names, types, constants, and that an attribute which may be absent is used only where it is known to be there.
#ifndef CROFTRUN_EXPR_CHECK_H_
#define CROFTRUN_EXPR_CHECK_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "expr/tree.h"

namespace croftrun::expr {

// What a file has defined so far. A definition sees only those before it, so none can refer to itself.
struct Scope {
  explicit Scope(const Schema& s) : schema(s), inputs(s.attributes) {
    enumerations = s.enumerations;
    enumerations["weekday"] = {"mon", "tue", "wed", "thu", "fri", "sat", "sun"};
  }
  struct Function {
    std::vector<std::string> parameters;  // none: a let
    Tree body;
  };
  struct Map {
    std::size_t number = 0;
    Type key = Type::kInt, value = Type::kInt;
    std::string key_enumeration;
    std::size_t longest = 0;  // octets of a value
  };
  // The input that holds a calendar value; appended when first asked for.
  std::size_t Calendar(CalendarKind kind, const std::string& zone_name);
  // Made once a file; the zone is known.
  std::shared_ptr<const Zone> ZoneTable(const std::string& zone_name);

  const Schema& schema;
  std::map<std::string, std::vector<std::string>> enumerations;
  std::vector<Attribute> inputs;  // the schema's, then what RuleSet::Extend adds
  std::vector<CalendarInput> calendar;
  bool rules = false;  // in a rule file: calendar and counters are at hand
  std::string zone = "UTC";
  std::map<std::string, Function> functions;
  std::map<std::string, Tree> lists;  // kIn, with the items behind its first part
  std::map<std::string, Map> maps;
  std::vector<std::shared_ptr<const ConstantMap>> map_values;
  std::map<std::string, std::shared_ptr<const Zone>> zones;
  std::size_t nodes = 0;  // made by definitions written out: bounded
};

// As people would write it, with definitions written out.
std::string Render(const Node& node, const Scope& scope);

class Checker {
 public:
  Checker(Scope* scope, const Limits& limits, Reporter* reporter)
      : scope_(scope), limits_(limits), reporter_(reporter) {}
  // `expected`: nothing where any type will do. False: mistakes were told.
  bool Check(Node& node, std::optional<Type> expected);
  // Makes the body of a definition: those before it are written out, so that none can come to refer to itself.
  bool Close(Node& node, const std::vector<std::string>& parameters);
  // Whether each name in the body of a definition means something, so that a slip of the pen in one that nothing uses
  // (yet) is told as well. `parameters`: mean what the caller gives.
  bool Resolve(const Node& node, const std::vector<std::string>& parameters);
  // A constant of the type of `like`, as in a list of values to compare it with.
  bool CheckConstant(Node& node, const Node& like);

 private:
  using Present = std::set<std::size_t>;  // attributes known to be there

  bool Visit(Node& node, const Node* peer, const Present& present);
  bool VisitShape(Node& node, const Node* peer, const Present& present);
  bool VisitConstant(Node& node);
  bool VisitName(Node& node, const Node* peer, const Present& present, bool absent_allowed);
  bool VisitCall(Node& node, const Node* peer, const Present& present);
  bool VisitLookup(Node& node, const Present& present);
  bool VisitBinary(Node& node, const Present& present);
  bool VisitCompare(Node& node, const Present& present);
  bool VisitArithmetic(Node& node);
  bool VisitIn(Node& node, const Present& present);
  bool WriteOut(Node& node, const Scope::Function& function);
  bool CalendarCall(Node& node, CalendarKind kind, const std::string& zone);
  void Holds(const Node& node, Present* present) const;
  void Mismatch(const Node& node, Type expected);
  bool Want(const Node& node, Type type);
  // Makes `node` of the type of `peer` where that is meant: a whole number beside a number, a text beside E.164.
  bool Adapt(Node& node, const Node& peer);
  void Fold(Node& node);
  bool IsInput(const Node& node) const;
  void UnknownName(const Node& node);

  Scope* scope_;
  const Limits& limits_;
  Reporter* reporter_;
  std::size_t depth_ = 0;
};

}  // namespace croftrun::expr

#endif  // CROFTRUN_EXPR_CHECK_H_
