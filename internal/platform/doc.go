// Package platform is the narrow interface to workers, and its HTTP form.
package platform
