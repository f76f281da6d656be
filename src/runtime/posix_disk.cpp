#include "runtime/posix_disk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

namespace croftrun::runtime {
namespace {

std::error_code LastError() { return {errno, std::generic_category()}; }

class PosixFile final : public core::File {
 public:
  explicit PosixFile(int handle) : handle_(handle) {}
  ~PosixFile() override { ::close(handle_); }
  PosixFile(const PosixFile&) = delete;
  PosixFile& operator=(const PosixFile&) = delete;

  std::error_code Append(std::string_view octets) override {
    while (!octets.empty()) {
      const ssize_t written = ::write(handle_, octets.data(), octets.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) return LastError();
      octets.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
  }
  std::error_code Truncate(std::uint64_t size) override {
    return ::ftruncate(handle_, static_cast<off_t>(size)) == 0 ? std::error_code() : LastError();
  }
  std::error_code Sync() override { return ::fdatasync(handle_) == 0 ? std::error_code() : LastError(); }

 private:
  int handle_;
};

}  // namespace

std::error_code PosixDisk::CreateFolder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  return error;
}

std::error_code PosixDisk::List(const std::string& folder, std::vector<std::string>* names) {
  names->clear();
  std::error_code error;
  std::filesystem::directory_iterator at(folder, error);
  for (; !error && at != std::filesystem::directory_iterator(); at.increment(error))
    names->push_back(at->path().filename().string());
  return error;
}

std::error_code PosixDisk::Read(const std::string& path, std::size_t max_octets, std::string* octets) {
  const int handle = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (handle < 0) return LastError();
  octets->clear();
  std::error_code error;
  char buffer[65'536];
  while (!error) {
    const ssize_t size = ::read(handle, buffer, sizeof buffer);
    if (size < 0 && errno == EINTR) continue;
    if (size < 0) error = LastError();
    if (size <= 0) break;
    if (octets->size() + static_cast<std::size_t>(size) > max_octets) {
      error = std::make_error_code(std::errc::file_too_large);
    } else {
      octets->append(buffer, static_cast<std::size_t>(size));
    }
  }
  ::close(handle);
  return error;
}

std::unique_ptr<core::File> PosixDisk::Open(const std::string& path, std::error_code* error) {
  const int handle = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640);
  *error = handle < 0 ? LastError() : std::error_code();
  return handle < 0 ? nullptr : std::make_unique<PosixFile>(handle);
}

std::error_code PosixDisk::Replace(const std::string& path, std::string_view octets) {
  const std::string temporary = path + ".new";
  ::unlink(temporary.c_str());
  std::error_code error;
  {
    const auto file = Open(temporary, &error);
    if (!error) error = file->Append(octets);
    if (!error) error = file->Sync();
  }
  if (!error && ::rename(temporary.c_str(), path.c_str()) != 0) error = LastError();
  if (error) return error;
  const std::string folder = std::filesystem::path(path).parent_path().string();
  const int handle = ::open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) return LastError();
  if (::fsync(handle) != 0) error = LastError();
  ::close(handle);
  return error;
}

std::error_code PosixDisk::Remove(const std::string& path) {
  return ::unlink(path.c_str()) == 0 ? std::error_code() : LastError();
}

}  // namespace croftrun::runtime
