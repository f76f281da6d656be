// A disk in memory that fails on demand: no room, a write torn in its middle, what was not synced lost, octets turned.
#ifndef CROFTRUN_SIM_MEMORY_DISK_H_
#define CROFTRUN_SIM_MEMORY_DISK_H_

#include <limits>
#include <map>

#include "core/disk.h"

namespace croftrun::sim {

class MemoryDisk final : public core::Disk {
 public:
  struct Content {
    std::string octets;
    std::size_t synced = 0;
  };

  std::error_code CreateFolder(const std::string&) override { return {}; }
  std::error_code List(const std::string& folder, std::vector<std::string>* names) override;
  std::error_code Read(const std::string& path, std::size_t most, std::string* octets) override;
  std::unique_ptr<core::File> Open(const std::string& path, std::error_code* error) override;
  std::error_code Replace(const std::string& path, std::string_view octets) override;
  std::error_code Remove(const std::string& path) override;

  // No room for more than so many octets in all: an append that meets the limit is cut off there.
  void SetRoom(std::size_t octets) { room_ = octets; }
  // The machine goes down: of each file's octets that were not synced, `kept` in a thousand are there afterwards.
  void Crash(unsigned kept);
  std::map<std::string, Content>& files() { return files_; }
  std::size_t used() const;

 private:
  friend class MemoryFile;
  std::map<std::string, Content> files_;
  std::size_t room_ = std::numeric_limits<std::size_t>::max();
};

}  // namespace croftrun::sim

#endif  // CROFTRUN_SIM_MEMORY_DISK_H_
