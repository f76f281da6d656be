#include "lab/soak/slot_lease.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace croftrun::lab::soak {

SlotLease::SlotLease(int preferred) {
  const std::filesystem::path folder = std::filesystem::temp_directory_path();
  for (int i = 0; i < kSlots; ++i) {
    slot_ = (preferred + i) % kSlots;
    const std::string path = (folder / ("croftrun-soak-slot-" + std::to_string(slot_))).string();
    file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if (file_ < 0) continue;
    if (::flock(file_, LOCK_EX | LOCK_NB) == 0) return;
    ::close(file_);
  }
  throw std::runtime_error("all address ranges of soak trials are in use");
}

SlotLease::~SlotLease() { ::close(file_); }

}  // namespace croftrun::lab::soak
