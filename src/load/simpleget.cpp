#include "load/simpleget.h"

#include <curl/curl.h>

#include <memory>

namespace hemlockgauge::load {

namespace {

std::size_t
Append(char* aData, std::size_t aSize, std::size_t aCount, void* aOut)
{
  static_cast<std::string*>(aOut)->append(aData, aSize * aCount);
  return aSize * aCount;
}

}

std::string
SimpleGet(const std::string& aAddress, const std::string& aPath)
{
  const std::unique_ptr<CURL, void (*)(CURL*)> handle(curl_easy_init(),
                                                      curl_easy_cleanup);
  std::string body;
  const auto url = "http://" + aAddress + aPath;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
  const auto result = curl_easy_perform(handle.get());
  return result == CURLE_OK ? body : std::string();
}

}
