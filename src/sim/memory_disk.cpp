#include "sim/memory_disk.h"

#include <algorithm>

namespace croftrun::sim {
namespace {

std::error_code ErrorCode(std::errc code) { return std::make_error_code(code); }

}  // namespace

class MemoryFile final : public core::File {
 public:
  MemoryFile(MemoryDisk* disk, std::string path) : disk_(disk), path_(std::move(path)) {}
  std::error_code Append(std::string_view octets) override {
    const std::size_t used = disk_->used();
    const std::size_t fits = std::min(octets.size(), disk_->capacity_ > used ? disk_->capacity_ - used : 0);
    disk_->files_[path_].octets.append(octets.substr(0, fits));
    return fits < octets.size() ? ErrorCode(std::errc::no_space_on_device) : std::error_code();
  }
  std::error_code Truncate(std::uint64_t size) override {
    auto& file = disk_->files_[path_];
    file.octets.resize(size);
    file.synced = std::min(file.synced, file.octets.size());
    return {};
  }
  std::error_code Sync() override {
    auto& file = disk_->files_[path_];
    file.synced = file.octets.size();
    return {};
  }

 private:
  MemoryDisk* disk_;
  std::string path_;
};

std::error_code MemoryDisk::List(const std::string& folder, std::vector<std::string>* names) {
  names->clear();
  const std::string start = folder + "/";
  for (const auto& [path, content] : files_) {
    if (path.starts_with(start)) names->push_back(path.substr(start.size()));
  }
  return {};
}

std::error_code MemoryDisk::Read(const std::string& path, std::size_t max_octets, std::string* octets) {
  const auto found = files_.find(path);
  if (found == files_.end()) return ErrorCode(std::errc::no_such_file_or_directory);
  if (found->second.octets.size() > max_octets) return ErrorCode(std::errc::file_too_large);
  *octets = found->second.octets;
  return {};
}

std::unique_ptr<core::File> MemoryDisk::Open(const std::string& path, std::error_code* error) {
  *error = {};
  files_[path];
  return std::make_unique<MemoryFile>(this, path);
}

std::error_code MemoryDisk::Replace(const std::string& path, std::string_view octets) {
  if (used() + octets.size() > capacity_) return ErrorCode(std::errc::no_space_on_device);
  files_[path] = {std::string(octets), octets.size()};
  return {};
}

std::error_code MemoryDisk::Remove(const std::string& path) {
  return files_.erase(path) > 0 ? std::error_code() : ErrorCode(std::errc::no_such_file_or_directory);
}

void MemoryDisk::Crash(unsigned kept) {
  for (auto& [path, file] : files_) {
    const std::size_t unsynced = file.octets.size() - file.synced;
    file.octets.resize(file.synced + unsynced * kept / 1000);
    file.synced = file.octets.size();
  }
}

std::size_t MemoryDisk::used() const {
  std::size_t sum = 0;
  for (const auto& [path, file] : files_) sum += file.octets.size();
  return sum;
}

}  // namespace croftrun::sim
