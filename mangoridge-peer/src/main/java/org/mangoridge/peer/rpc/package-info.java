/** Thrift between instances: a server, a client, and the translation of messages. */
package org.mangoridge.peer.rpc;
