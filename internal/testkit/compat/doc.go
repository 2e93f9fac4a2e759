// Package compat holds tests that keep stored and transmitted data readable across versions. They compare every
// encoding byte for byte with files that an earlier version of the program wrote.
package compat
