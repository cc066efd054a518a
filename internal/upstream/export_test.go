package upstream

// StartRawServer is startRawServer for the tests outside of the package.
var StartRawServer = startRawServer
