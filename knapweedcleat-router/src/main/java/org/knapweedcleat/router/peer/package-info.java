/** Messaging between instances: MessagePack messages in length-prefixed frames over TCP. */
package org.knapweedcleat.router.peer;
