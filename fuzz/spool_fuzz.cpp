// Reads arbitrary octets as a spool segment, directly and as a file that an earlier run left.
#include "flow/spool.h"
#include "sim/memory_disk.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace croftrun;
  const std::string octets(reinterpret_cast<const char*>(data), size);
  const flow::ScannedSegment scanned = flow::ScanSegment(octets);
  if (scanned.valid_octets > size) __builtin_trap();
  sim::MemoryDisk disk;
  disk.files()["spool/0-0000000000000003.seg"] = {octets, size};
  disk.files()["spool/0-0000000000000003.at"] = {octets.substr(0, 8), 8};
  flow::Spool spool({"spool"}, &disk);
  if (spool.Open()) return 0;
  const std::uint64_t found = spool.size();
  std::uint64_t read = 0;
  for (; spool.Front() != nullptr; spool.Pop()) ++read;
  if (found != scanned.records.size() || read > found) __builtin_trap();
  return 0;
}
