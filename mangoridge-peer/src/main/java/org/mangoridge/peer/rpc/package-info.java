/** Thrift server and client for calls between instances, and the conversion of messages. */
package org.mangoridge.peer.rpc;
