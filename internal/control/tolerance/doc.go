// Package tolerance computes how many more members' disks a cluster may lose without losing its majority, and follows
// how that number changes.
package tolerance
