// Command pistachiod is part of pistachioport.
package main

func main() {}
