/** Publication of configurations in the platform's object store, with hashes that cover their whole content. */
package org.mangoridge.config;
