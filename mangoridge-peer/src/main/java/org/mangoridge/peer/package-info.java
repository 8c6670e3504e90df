/** Entry instances talking to each other over Thrift. */
package org.mangoridge.peer;
