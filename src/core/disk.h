// The seam between the product and the disk: what spools and snapshots are written through, so that the same code runs
// on files (runtime/posix_disk.h) and on a disk that fails on demand (sim/memory_disk.h).
#ifndef CROFTRUN_CORE_DISK_H_
#define CROFTRUN_CORE_DISK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace croftrun::core {

// A file open for appending; closed when destroyed.
class File {
 public:
  virtual ~File() = default;
  // All of it or an error; after an error a part may be there (Truncate takes it back).
  virtual std::error_code Append(std::string_view octets) = 0;
  virtual std::error_code Truncate(std::uint64_t size) = 0;
  // After it, what was appended outlives a crash of the machine.
  virtual std::error_code Sync() = 0;
};

class Disk {
 public:
  virtual ~Disk() = default;
  // With those above it; fine if it is there.
  virtual std::error_code CreateFolder(const std::string& folder) = 0;
  // Names of the files in it, in no order.
  virtual std::error_code List(const std::string& folder, std::vector<std::string>* names) = 0;
  // The whole file; an error if it is longer than `most`.
  virtual std::error_code Read(const std::string& path, std::size_t most, std::string* octets) = 0;
  // Made if it is not there. Null with an error.
  virtual std::unique_ptr<File> Open(const std::string& path, std::error_code* error) = 0;
  // The old content or the new, whatever happens: temporary file, sync, rename, sync of the folder.
  virtual std::error_code Replace(const std::string& path, std::string_view octets) = 0;
  virtual std::error_code Remove(const std::string& path) = 0;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_DISK_H_
