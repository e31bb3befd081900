#include <criterion/criterion.h>
