// Decodes arbitrary octets as one datagram and as a stream of messages.
#include "flow/decode.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace croftrun::flow;
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  Decoder decoder;
  const auto read_fields = [](const DecodedRecord& record) {
    for (const DecodedField& field : record.fields) ReadBasicList(field.octets);
    record.Number(FieldId::kCall);
    record.Text(FieldId::kCalled);
  };
  std::string error;
  decoder.DecodeMessage(rest, read_fields, &error);
  while (!rest.empty()) {
    const std::size_t length = Decoder::NextMessageLength(rest);
    if (length <= 1 || length > rest.size()) break;
    decoder.DecodeMessage(rest.substr(0, length), read_fields, &error);
    rest.remove_prefix(length);
  }
  return 0;
}
