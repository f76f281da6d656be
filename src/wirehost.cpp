// Bench adapter: reads frames from standard input and writes a reply to each one to standard output.
#include <cstdio>
#include <string>

#include "wire/codec.h"
#include "wire/host.h"

namespace {

// Reads up to `size` bytes; returns the number read before the end of input.
std::size_t ReadUpTo(std::size_t size, std::string* bytes) {
  constexpr std::size_t kChunk = std::size_t{1} << 20;
  bytes->clear();
  while (bytes->size() < size) {
    const std::size_t offset = bytes->size();
    const std::size_t wanted = std::min(kChunk, size - offset);
    bytes->resize(offset + wanted);
    const std::size_t received = std::fread(bytes->data() + offset, 1, wanted, stdin);
    bytes->resize(offset + received);
    if (received < wanted) break;
  }
  return bytes->size();
}

int Run() {
  using namespace croftrun::wire;
  Host host;
  std::string bytes;
  while (true) {
    const std::size_t received = ReadUpTo(kBatchHeaderSize, &bytes);
    if (received == 0) return 0;
    const BatchHeader header = DecodeBatchHeader(bytes);
    if (ReadUpTo(header.records_size, &bytes) < header.records_size) {
      throw MalformedFrame("batch " + std::to_string(header.number) + " ends after " + std::to_string(bytes.size()) +
                           " of " + std::to_string(header.records_size) + " bytes of records");
    }
    const std::string reply = host.Answer(header, bytes);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      std::fputs("croftrun_wirehost: cannot write the reply\n", stderr);
      return 1;
    }
  }
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "croftrun_wirehost: %s\n", error.what());
    return 1;
  }
}
