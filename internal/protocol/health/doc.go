// Package health groups the packages that decide from failures and announcements whether a
// backend server, a request or this process's own network path is sound. It has no code of its own.
package health
