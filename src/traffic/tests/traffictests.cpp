#include <criterion/criterion.h>
Test(traffic, placeholder)
{
  cr_assert(true);
}
