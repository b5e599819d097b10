/** The common type of messages between instances. */
package org.knapweedcleat.core.message;
