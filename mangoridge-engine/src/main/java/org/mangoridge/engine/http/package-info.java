/** Model engines over HTTP. */
package org.mangoridge.engine.http;
