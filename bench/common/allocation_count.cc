#include "common/allocation_count.h"

#include <cstdlib>
#include <new>

namespace {

std::size_t allocation_count = 0;

}  // namespace

// The operators aren't inlined: the compiler would report an inlined malloc
// paired with delete, or new paired with an inlined free, as a mismatch.
[[gnu::noinline]] auto operator new(std::size_t size) -> void* {
  ++allocation_count;
  void* const memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] auto operator delete(void* memory) noexcept -> void {
  std::free(memory);
}

[[gnu::noinline]] auto operator delete(void* memory, std::size_t) noexcept
    -> void {
  std::free(memory);
}

namespace hawthornbank::bench {

auto GetAllocationCount() -> std::size_t {
  return allocation_count;
}

}  // namespace hawthornbank::bench
