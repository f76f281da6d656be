// The adapter to the bench: frames on standard input, one reply each on standard output.
#include <cstdio>
#include <string>

#include "wire/codec.h"
#include "wire/host.h"

namespace {

// Reads `size` bytes; returns how many there were before the end of input.
std::size_t ReadUpTo(std::size_t size, std::string* bytes) {
  constexpr std::size_t kChunk = std::size_t{1} << 20;
  bytes->clear();
  while (bytes->size() < size) {
    const std::size_t had = bytes->size();
    const std::size_t want = std::min(kChunk, size - had);
    bytes->resize(had + want);
    const std::size_t got = std::fread(bytes->data() + had, 1, want, stdin);
    bytes->resize(had + got);
    if (got < want) break;
  }
  return bytes->size();
}

int Run() {
  using namespace croftrun::wire;
  Host host;
  std::string bytes;
  while (true) {
    const std::size_t got = ReadUpTo(kBatchHeaderSize, &bytes);
    if (got == 0) return 0;
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
