// Package limits groups the packages that bound what is sent: by customer or workspace, by server
// and by retry budget. It has no code of its own.
package limits
