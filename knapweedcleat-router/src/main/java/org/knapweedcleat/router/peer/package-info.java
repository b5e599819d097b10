/** Carries messages between instances: frames over TCP with MessagePack. */
package org.knapweedcleat.router.peer;
