#ifndef ROSEMARY_INT_H
#define ROSEMARY_INT_H

/* Structs and functions shared by the parts of the kernel. */

#include "rosemary.h"

#endif
