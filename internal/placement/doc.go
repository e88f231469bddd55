// Package placement is the leader's duty of placing tasks: it turns the scheduler's proposals into committed plans and serves the workers.
package placement
