/** Tracks the objects of a store by list and watch. */
package org.mangoridge.dispatch.follow;
