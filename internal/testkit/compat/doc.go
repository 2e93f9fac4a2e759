// Package compat holds tests that keep stored and transmitted data readable: every encoded form is compared, byte for
// byte, with files that an earlier version of the program wrote.
package compat
