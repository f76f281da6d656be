// The address range of a trial, held against other trials on this machine for as long as the lease lives.
#ifndef CROFTRUN_LAB_SOAK_SLOT_LEASE_H_
#define CROFTRUN_LAB_SOAK_SLOT_LEASE_H_

namespace croftrun::lab::soak {

inline constexpr int kSlots = 64;

class SlotLease {
 public:
  // The first free slot from `preferred` on. Throws std::runtime_error where all are taken.
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
