/** Ports to the platform's stores and host list, with etcd and HTTP adapters. */
package org.marigoldturn.store;
