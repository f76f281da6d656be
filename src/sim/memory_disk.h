// An in-memory disk with fault injection: no space left, torn writes, loss of unsynced data, corrupted octets.
#ifndef CROFTRUN_SIM_MEMORY_DISK_H_
#define CROFTRUN_SIM_MEMORY_DISK_H_

#include <limits>
#include <map>

#include "core/disk.h"

namespace croftrun::sim {

// core::Disk in memory.
class MemoryDisk final : public core::Disk {
 public:
  struct Content {
    std::string octets;
    std::size_t synced = 0;
  };

  std::error_code CreateFolder(const std::string&) override { return {}; }
  std::error_code List(const std::string& folder, std::vector<std::string>* names) override;
  std::error_code Read(const std::string& path, std::size_t max_octets, std::string* octets) override;
  std::unique_ptr<core::File> Open(const std::string& path, std::error_code* error) override;
  std::error_code Replace(const std::string& path, std::string_view octets) override;
  std::error_code Remove(const std::string& path) override;

  // Limits the total size of all files. An append that exceeds the limit is truncated and fails.
  void SetCapacity(std::size_t octets) { capacity_ = octets; }
  // Simulates a crash of the machine: of the unsynced octets of each file, `kept` per thousand survive.
  void Crash(unsigned kept);
  std::map<std::string, Content>& files() { return files_; }
  // Total size of all files.
  std::size_t used() const;

 private:
  friend class MemoryFile;
  std::map<std::string, Content> files_;
  std::size_t capacity_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_MEMORY_DISK_H_
