// A lease of an address range for one trial. While it exists, no other trial on this machine uses the range.
#ifndef CROFTRUN_LAB_SOAK_SLOT_LEASE_H_
#define CROFTRUN_LAB_SOAK_SLOT_LEASE_H_

namespace croftrun::lab::soak {

inline constexpr int kSlots = 64;

class SlotLease {
 public:
  // Takes the first free slot, starting with `preferred`. Throws std::runtime_error if all are in use.
  explicit SlotLease(int preferred);
  ~SlotLease();
  SlotLease(const SlotLease&) = delete;
  SlotLease& operator=(const SlotLease&) = delete;
  int slot() const { return slot_; }

 private:
  int slot_ = 0;
  int file_ = -1;
};

}  // namespace croftrun::lab::soak

#endif  // CROFTRUN_LAB_SOAK_SLOT_LEASE_H_
