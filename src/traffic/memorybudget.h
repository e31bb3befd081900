#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

namespace hemlockgauge::traffic {

//! Counts and limits the bytes that all requests and their answers hold
//! together. Unlike base::BufferBudget it is thread-safe.
class MemoryBudget
{
public:
  explicit MemoryBudget(std::size_t aLimit)
    : m_limit(aLimit)
  {
  }

  //! Counts aBytes more; returns false and counts nothing if they don't fit.
  bool TryAdd(std::size_t aBytes)
  {
    if (m_total.fetch_add(aBytes) + aBytes <= m_limit) {
      return true;
    }
    m_total -= aBytes;
    return false;
  }
  void Add(std::size_t aBytes) { m_total += aBytes; }
  void Remove(std::size_t aBytes) { m_total -= aBytes; }
  //! Whether more than half of the limit is used.
  bool IsTight() const { return m_total > m_limit / 2; }

private:
  std::size_t m_limit;
  std::atomic<std::size_t> m_total{ 0 };
};

//! The bytes that one owner holds. Gives them back when it is destroyed.
//! Without a budget nothing is counted.
class MemoryShare
{
public:
  MemoryShare() = default;
  explicit MemoryShare(std::shared_ptr<MemoryBudget> aBudget)
    : m_budget(std::move(aBudget))
  {
  }
  ~MemoryShare() { Set(0); }
  MemoryShare(MemoryShare&& aOther) noexcept
    : m_budget(std::move(aOther.m_budget))
    , m_bytes(std::exchange(aOther.m_bytes, 0))
  {
  }
  MemoryShare& operator=(MemoryShare&& aOther) noexcept
  {
    if (this != &aOther) {
      Set(0);
      m_budget = std::move(aOther.m_budget);
      m_bytes = std::exchange(aOther.m_bytes, 0);
    }
    return *this;
  }

  //! Returns false and changes nothing if what is added does not fit.
  bool TrySet(std::size_t aBytes)
  {
    const bool fits =
      !m_budget || aBytes <= m_bytes || m_budget->TryAdd(aBytes - m_bytes);
    if (!fits) {
      return false;
    }
    if (m_budget && aBytes < m_bytes) {
      m_budget->Remove(m_bytes - aBytes);
    }
    m_bytes = aBytes;
    return true;
  }
  void Set(std::size_t aBytes)
  {
    if (m_budget) {
      m_budget->Add(aBytes);
      m_budget->Remove(m_bytes);
    }
    m_bytes = aBytes;
  }
  bool IsTight() const { return m_budget && m_budget->IsTight(); }
  const std::shared_ptr<MemoryBudget>& Budget() const { return m_budget; }

private:
  std::shared_ptr<MemoryBudget> m_budget;
  std::size_t m_bytes = 0;
};

}
