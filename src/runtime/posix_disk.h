// core::Disk on the POSIX file system.
#ifndef CROFTRUN_RUNTIME_POSIX_DISK_H_
#define CROFTRUN_RUNTIME_POSIX_DISK_H_

#include "core/disk.h"

namespace croftrun::runtime {

class PosixDisk final : public core::Disk {
 public:
  std::error_code CreateFolder(const std::string& folder) override;
  std::error_code List(const std::string& folder, std::vector<std::string>* names) override;
  std::error_code Read(const std::string& path, std::size_t max_octets, std::string* octets) override;
  std::unique_ptr<core::File> Open(const std::string& path, std::error_code* error) override;
  std::error_code Replace(const std::string& path, std::string_view octets) override;
  std::error_code Remove(const std::string& path) override;
};

}  // namespace croftrun::runtime

#endif  // CROFTRUN_RUNTIME_POSIX_DISK_H_
