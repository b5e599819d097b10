/** What the messages between instances have in common. */
package org.knapweedcleat.core.message;
