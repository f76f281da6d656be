// File system interface used for spools and snapshots, so that the same code runs on real files (runtime/posix_disk.h)
// and on a simulated disk with fault injection (sim/memory_disk.h).
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
  // Appends all octets or returns an error. After an error, part of them may have been written; Truncate removes it.
  virtual std::error_code Append(std::string_view octets) = 0;
  virtual std::error_code Truncate(std::uint64_t size) = 0;
  // Makes the octets appended so far durable: they survive a crash of the machine.
  virtual std::error_code Sync() = 0;
};

// Creates, reads, lists and replaces files. An empty error code means success.
class Disk {
 public:
  virtual ~Disk() = default;
  // Creates the folder and its parents; succeeds if it exists already.
  virtual std::error_code CreateFolder(const std::string& folder) = 0;
  // Lists the names of the files in the folder, in no particular order.
  virtual std::error_code List(const std::string& folder, std::vector<std::string>* names) = 0;
  // Reads the whole file; returns an error if it is longer than `max_octets`.
  virtual std::error_code Read(const std::string& path, std::size_t max_octets, std::string* octets) = 0;
  // Opens a file for appending and creates it if it does not exist. Returns null and sets `*error` on failure.
  virtual std::unique_ptr<File> Open(const std::string& path, std::error_code* error) = 0;
  // Replaces the content atomically: after a crash the file has either the old or the new content. Writes a temporary
  // file, syncs it, renames it and syncs the folder.
  virtual std::error_code Replace(const std::string& path, std::string_view octets) = 0;
  virtual std::error_code Remove(const std::string& path) = 0;
};

}  // namespace croftrun::core

#endif  // CROFTRUN_CORE_DISK_H_
