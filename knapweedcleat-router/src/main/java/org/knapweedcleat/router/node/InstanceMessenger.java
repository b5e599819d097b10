package org.knapweedcleat.router.node;

import io.smallrye.mutiny.Uni;
import java.util.Optional;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.membership.Member;
import org.knapweedcleat.core.membership.MembershipView;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.router.gate.InstanceClient;
import org.knapweedcleat.router.gate.InstanceUnreachableException;
import org.knapweedcleat.router.limit.DomainDrawRequest;
import org.knapweedcleat.router.peer.DocumentRequest;
import org.knapweedcleat.router.peer.PeerAddress;
import org.knapweedcleat.router.peer.PeerTransport;
import org.knapweedcleat.router.placement.SchedulerClient;

/** Sends messages to incarnations at the addresses given by the membership view. */
final class InstanceMessenger implements InstanceClient, SchedulerClient {

  private final PeerTransport transport;
  private MembershipView view;

  private InstanceMessenger(PeerTransport transport, MembershipView view) {
    this.transport = transport;
    this.view = view;
  }

  static InstanceMessenger of(PeerTransport transport, MembershipView view) {
    return new InstanceMessenger(transport, view);
  }

  void updateMembers(MembershipView newView) {
    view = newView;
  }

  @Override
  public Uni<PeerMessage> ask(IncarnationId target, PeerMessage request, long timeoutMillis) {
    Optional<PeerAddress> address = addressOf(target);
    if (address.isEmpty()) {
      return Uni.createFrom().failure(new InstanceUnreachableException(target, false));
    }
    return transport.request(address.get(), target, request, timeoutMillis);
  }

  @Override
  public void send(IncarnationId target, PeerMessage message) {
    addressOf(target).ifPresent(address -> transport.send(address, target, message));
  }

  @Override
  public Optional<IncarnationId> homeOfKey(String name) {
    return view.homeOfKey(name).map(Member::incarnation);
  }

  @Override
  public boolean isAlive(IncarnationId incarnation) {
    return view.isLive(incarnation);
  }

  /** Requests a part of the document that a peer announced. */
  Uni<PeerMessage> requestDocumentPart(IncarnationId peer, DocumentRequest request) {
    return ask(peer, request, NodeTimings.DOCUMENT_TIMEOUT_MILLIS);
  }

  /** Draws tokens from a failure domain through any live instance of it that is not leaving. */
  Uni<PeerMessage> drawInDomain(FailureDomainId domain, DomainDrawRequest draw) {
    Optional<IncarnationId> contact =
        view.live().stream()
            .filter(member -> member.domain().equals(domain) && !member.leaving())
            .map(Member::incarnation)
            .findFirst();
    IncarnationId target = contact.orElse(view.self().incarnation());
    return contact.isEmpty()
        ? Uni.createFrom().failure(new InstanceUnreachableException(target, false))
        : ask(target, draw, NodeTimings.DOMAIN_DRAW_TIMEOUT_MILLIS);
  }

  private Optional<PeerAddress> addressOf(IncarnationId target) {
    return view.live().stream()
        .filter(member -> member.incarnation().equals(target))
        .findFirst()
        .map(member -> new PeerAddress(member.id(), member.host(), member.peerPort()));
  }
}
