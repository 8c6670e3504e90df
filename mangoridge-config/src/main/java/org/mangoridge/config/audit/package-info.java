/** Audit trails: hash-chained entries in the platform's object store. */
package org.mangoridge.config.audit;
