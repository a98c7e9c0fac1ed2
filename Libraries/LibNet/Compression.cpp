#include "LibNet/Compression.h"

#include <array>
#include <gio/gio.h>

namespace primrose {

namespace {

/// Compression of rows to an eighth takes a few milliseconds at this level.
constexpr int kLevel = 3;
/// First byte of a message in zlib's format, with a window of 32 KB.
constexpr char kFirstByte = 0x78;
constexpr std::size_t kChunkBytes = std::size_t{ 32 } * 1024;

/// Runs all bytes through the converter. Fails if it does, or if the result
/// would become larger than `aMaxBytes`.
result<std::string>
Convert(GConverter* aConverter, std::string_view aBytes, std::size_t aMaxBytes)
{
  std::string converted;
  std::array<char, kChunkBytes> chunk{};
  std::size_t done = 0;
  for (;;) {
    gsize read = 0;
    gsize written = 0;
    GError* error = nullptr;
    const GConverterResult outcome =
      g_converter_convert(aConverter,
                          aBytes.data() + done,
                          aBytes.size() - done,
                          chunk.data(),
                          chunk.size(),
                          G_CONVERTER_INPUT_AT_END,
                          &read,
                          &written,
                          &error);
    if (outcome == G_CONVERTER_ERROR) {
      const std::string why = error->message;
      g_error_free(error);
      return Fail(error_kind::BadValue, why);
    }
    done += read;
    converted.append(chunk.data(), written);
    if (converted.size() > aMaxBytes) {
      return Fail(error_kind::BadValue, "too large when decompressed");
    }
    if (outcome == G_CONVERTER_FINISHED) {
      return converted;
    }
  }
}

} // namespace

std::string
Compress(std::string_view aBytes)
{
  GZlibCompressor* const compressor =
    g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, kLevel);
  const outcome<std::string> compressed = Capture<std::string>([&]() {
    return Convert(G_CONVERTER(compressor), aBytes, std::string::npos);
  });
  g_object_unref(compressor);
  // Compression into memory has no reason to fail; uncompressed bytes are
  // understood as well.
  return compressed ? *compressed.mValue : std::string(aBytes);
}

bool
IsCompressed(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kFirstByte;
}

result<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  GZlibDecompressor* const decompressor =
    g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  result<std::string> plain =
    Convert(G_CONVERTER(decompressor), aBytes, aMaxBytes);
  g_object_unref(decompressor);
  return plain;
}

} // namespace primrose
