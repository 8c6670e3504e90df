/** Model engines called over HTTP. */
package org.mangoridge.engine.http;
