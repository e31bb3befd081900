#include "net.h"

#include <sys/socket.h>

#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

//! A stand-in of the platform's store: ranges, watches and one revision
//! counter. Workers and the operator write with PUT and DELETE /-/item?key=KEY.
namespace {

using standin::Channel;
using standin::Head;
using standin::NowMs;

constexpr std::int64_t kExpiryCheckMs = 50;

struct Item
{
  std::string data;
  std::uint64_t revision = 0;
  std::int64_t expiresAtMs = 0; //!< 0: never
};

struct Change
{
  std::uint64_t revision = 0;
  std::string json;
};

std::string
Base64(const std::string& aBytes)
{
  static const std::string kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "abcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const bool isThere = i + j < aBytes.size();
      group = group << 8U |
              (isThere ? static_cast<unsigned char>(aBytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      const bool isPadding = i + j > aBytes.size();
      out += isPadding ? '=' : kDigits[group >> (18U - 6U * j) & 63U];
    }
  }
  return out;
}

std::string
ItemJson(const std::string& aKey, const Item& aItem)
{
  const auto revision = std::to_string(aItem.revision);
  return R"({"key":")" + aKey + R"(","data":")" + Base64(aItem.data) +
         R"(","revision":)" + revision + R"(,"created":)" + revision +
         R"(,"leaseId":0})";
}

//! The decoded value of a query parameter.
std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  std::istringstream query(
    aTarget.substr(std::min(aTarget.find('?'), aTarget.size() - 1) + 1));
  std::string field;
  while (std::getline(query, field, '&')) {
    if (field.compare(0, aName.size() + 1, aName + "=") != 0) {
      continue;
    }
    std::string value;
    for (std::size_t i = aName.size() + 1; i < field.size(); ++i) {
      if (field[i] == '%') {
        value += static_cast<char>(
          std::strtoul(field.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        value += field[i];
      }
    }
    return value;
  }
  return "";
}

class Store
{
public:
  void Put(const std::string& aKey, const std::string& aData, std::int64_t aTtl)
  {
    const std::lock_guard lock(m_mutex);
    auto& item = m_items[aKey];
    item.expiresAtMs = aTtl > 0 ? NowMs() + aTtl : 0;
    if (item.revision != 0 && item.data == aData) {
      return; // a heartbeat without news
    }
    item.data = aData;
    item.revision = ++m_revision;
    m_history.push_back({ m_revision, ItemJson(aKey, item) });
    m_changed.notify_all();
  }

  void Remove(const std::string& aKey)
  {
    const std::lock_guard lock(m_mutex);
    Erase(aKey);
  }

  void ExpireItems()
  {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> expired;
    for (const auto& [key, item] : m_items) {
      if (item.expiresAtMs > 0 && item.expiresAtMs <= NowMs()) {
        expired.push_back(key);
      }
    }
    for (const auto& key : expired) {
      Erase(key);
    }
  }

  std::string Range(const std::string& aAfter)
  {
    const std::lock_guard lock(m_mutex);
    std::string entries;
    for (const auto& [key, item] : m_items) {
      if (key > aAfter) {
        entries += (entries.empty() ? "" : ",") + ItemJson(key, item);
      }
    }
    return R"({"entries":[)" + entries + R"(],"hasMore":false,"at":)" +
           std::to_string(m_revision) + "}";
  }

  std::string Watch(std::uint64_t aAfter, std::int64_t aWaitMs)
  {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(aWaitMs), [&] {
      return m_revision > aAfter;
    });
    std::string events;
    for (const auto& change : m_history) {
      if (change.revision > aAfter) {
        events += (events.empty() ? "" : ",") + change.json;
      }
    }
    return R"({"events":[)" + events + R"(],"at":)" +
           std::to_string(m_revision) + "}";
  }

private:
  void Erase(const std::string& aKey)
  {
    if (m_items.erase(aKey) == 0) {
      return;
    }
    ++m_revision;
    m_history.push_back({ m_revision,
                          R"({"key":")" + aKey + R"(","revision":)" +
                            std::to_string(m_revision) +
                            R"(,"deleted":true})" });
    m_changed.notify_all();
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Change> m_history;
  std::uint64_t m_revision = 1;
};

std::string
Answer(Store& aStore, const Head& aHead, const std::string& aBody)
{
  const auto target =
    aHead.start.substr(aHead.start.find(' ') + 1,
                       aHead.start.rfind(' ') - aHead.start.find(' ') - 1);
  const auto number = [&](const std::string& aName) {
    return std::strtoull(QueryValue(target, aName).c_str(), nullptr, 10);
  };
  if (target.starts_with("/api/kv-range")) {
    return aStore.Range(QueryValue(target, "after"));
  }
  if (target.starts_with("/api/kv-watch")) {
    return aStore.Watch(number("after"),
                        static_cast<std::int64_t>(number("waitMs")));
  }
  if (aHead.start.starts_with("PUT ")) {
    aStore.Put(QueryValue(target, "key"),
               aBody,
               static_cast<std::int64_t>(number("ttlMs")));
  } else if (aHead.start.starts_with("DELETE ")) {
    aStore.Remove(QueryValue(target, "key"));
  }
  return "{}";
}

void
Serve(Store& aStore, int aSocket)
{
  Channel channel(aSocket);
  while (const auto head = channel.ReadHead()) {
    std::string body;
    const auto length =
      std::strtoull(head->Field("content-length").c_str(), nullptr, 10);
    if (!channel.ReadExactly(length, body)) {
      return;
    }
    const auto answer = Answer(aStore, *head, body);
    const auto text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(answer.size()) + "\r\n\r\n" + answer;
    if (!channel.SendAll(text)) {
      return;
    }
  }
}

}

int
main(int argc, char** argv)
{
  const standin::Flags flags(argc, argv);
  const int listener = standin::Listen(flags.Text("listen"));
  Store store;
  std::thread([&store] {
    while (true) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kExpiryCheckMs));
      store.ExpireItems();
    }
  }).detach();
  while (true) {
    const int accepted = accept(listener, nullptr, nullptr);
    if (accepted >= 0) {
      std::thread([&store, accepted] { Serve(store, accepted); }).detach();
    }
  }
}
