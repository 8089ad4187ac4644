/** Protobuf messages between entry daemons, generated from {@code peer.proto}. */
package org.marigoldturn.peer.wire;
