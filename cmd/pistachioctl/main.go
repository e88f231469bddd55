// Command pistachioctl is part of pistachioport.
package main

func main() {}
