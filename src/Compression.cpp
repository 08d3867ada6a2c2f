// Compression with the zlib streams of the protobuf library.
#include "Compression.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace sycamore {

namespace io = google::protobuf::io;

std::string compress(std::string_view Bytes) {
  std::string Out;
  {
    io::StringOutputStream Sink(&Out);
    io::GzipOutputStream::Options Options;
    Options.format = io::GzipOutputStream::ZLIB;
    io::GzipOutputStream Zip(&Sink, Options);
    void *Buffer = nullptr;
    int Size = 0;
    while (!Bytes.empty() && Zip.Next(&Buffer, &Size)) {
      std::size_t Used = Bytes.copy(static_cast<char *>(Buffer),
                                    static_cast<std::size_t>(Size));
      Bytes.remove_prefix(Used);
      Zip.BackUp(Size - static_cast<int>(Used));
    }
    Zip.Close();
  }
  return Out;
}

Result<std::string> decompress(std::string_view Bytes, std::size_t MaxBytes) {
  io::ArrayInputStream Source(Bytes.data(), static_cast<int>(Bytes.size()));
  io::GzipInputStream Zip(&Source, io::GzipInputStream::ZLIB);
  std::string Out;
  const void *Buffer = nullptr;
  int Size = 0;
  while (Zip.Next(&Buffer, &Size)) {
    if (Out.size() + static_cast<std::size_t>(Size) > MaxBytes)
      return fail(ErrorKind::TooLarge,
                  "a compressed message holds more than " +
                      std::to_string(MaxBytes) + " bytes",
                  "check the server that sent it");
    Out.append(static_cast<const char *>(Buffer),
               static_cast<std::size_t>(Size));
  }
  if (Zip.ZlibErrorCode() < 0)
    return fail(ErrorKind::InvalidData, "a compressed message is damaged",
                "check the server that sent it");
  return Out;
}

} // namespace sycamore
