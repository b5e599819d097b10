package org.knapweedcleat.router.forward.call;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.knapweedcleat.core.balance.EndpointHealth;
import org.knapweedcleat.core.balance.EndpointWork;
import org.knapweedcleat.core.directory.AccountQuota;
import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.ForwardRoute;
import org.knapweedcleat.core.forward.NextStep;
import org.knapweedcleat.router.forward.codec.Dispatch;
import org.knapweedcleat.router.forward.codec.InboundCall;
import org.knapweedcleat.router.forward.codec.ReplyHead;
import org.knapweedcleat.router.forward.codec.ReplyNature;
import org.knapweedcleat.router.forward.http.BrokenCause;
import org.knapweedcleat.router.forward.http.CallerExchange;
import org.knapweedcleat.router.forward.http.ReplyListener;

/** A call with one answer, which is passed on when it is whole. */
final class PlainForward extends ForwardedCall {

  private static final EndpointWork ONE_CALL = new EndpointWork(1, 0, 0);

  /** Answers longer than this are passed on as they come; far above the users' answers. */
  private static final int MAX_COLLECTED_BYTES = 256 * 1024;

  /** A repeatable call is sent again after this many times its target. */
  private static final double PATIENCE_TARGETS = 1.5;

  private static final int FIRST_SERVER_ERROR = 500;

  PlainForward(
      ForwardContext context,
      CallerExchange exchange,
      InboundCall call,
      ForwardRoute route,
      Optional<AccountQuota> account,
      long units) {
    super(context, exchange, call, route, account, units);
  }

  @Override
  protected void place() {
    context
        .chooser()
        .plain(context.nowMillis(), candidates(), ledger.tried())
        .ifPresentOrElse(this::send, this::refuseWithoutCandidates);
  }

  private void send(EndpointEntry endpoint) {
    beginWork(endpoint.id(), ONE_CALL);
    ledger.sent(endpoint.id());
    Dispatch dispatch = dispatch(endpoint, false, Optional.empty(), call.resumeAfter());
    Send send = new Send(endpoint);
    send(endpoint, dispatch, send);
    if (route.isRepeatable()) {
      patience((long) (PATIENCE_TARGETS * route.targetMillis()), send::tooSlow);
    }
  }

  private final class Send implements ReplyListener {
    private final EndpointEntry endpoint;
    private final EndpointHealth health;
    private final long sentMillis = context.nowMillis();
    private final Buffer collected = Buffer.buffer();
    private ReplyHead head;
    private ReplyNature nature;

    Send(EndpointEntry endpoint) {
      this.endpoint = endpoint;
      this.health = context.health().of(endpoint.id());
    }

    @Override
    public void onHead(ReplyHead reply) {
      head = reply;
      nature = context.codec().nature(reply, call.requestId());
      noteNotice(endpoint, reply, nature);
    }

    @Override
    public long maxBodyBytes() {
      return nature == ReplyNature.GENUINE ? Long.MAX_VALUE : MAX_HELD_BYTES;
    }

    @Override
    public void onBody(Buffer bytes) {
      if (exchange.isBegun()) {
        exchange.write(bytes);
        pauseWhileBackedUp();
        return;
      }
      collected.appendBuffer(bytes);
      if (collected.length() > MAX_COLLECTED_BYTES && nature == ReplyNature.GENUINE) {
        exchange.begin(head.status(), context.codec().answer(head));
        exchange.write(collected);
      }
    }

    @Override
    public void onEnd() {
      endPatience();
      endWork(endpoint.id());
      long nowMillis = context.nowMillis();
      switch (nature) {
        case NOT_RUN, MISDIRECTED -> {
          if (nature == ReplyNature.MISDIRECTED) {
            health.turnedAway(nowMillis);
          } else {
            health.failed(nowMillis);
          }
          follow(ledger.refused(nowMillis), "endpoint " + endpoint.id() + " refused");
        }
        case GENUINE -> genuine(nowMillis);
        default -> {
          health.failed(nowMillis);
          follow(ledger.broken(nowMillis), "endpoint " + endpoint.id() + " gave no proof");
        }
      }
    }

    private void genuine(long nowMillis) {
      if (head.status() >= FIRST_SERVER_ERROR) {
        health.failed(nowMillis);
        if (!exchange.isBegun() && ledger.broken(nowMillis) == NextStep.AGAIN) {
          follow(NextStep.AGAIN, "endpoint " + endpoint.id() + " answered " + head.status());
          return;
        }
      } else {
        health.succeeded(nowMillis, nowMillis - sentMillis);
      }
      if (exchange.isBegun()) {
        exchange.end();
      } else {
        exchange.respond(head.status(), context.codec().answer(head), collected);
      }
      answered(head.status(), endpoint.id(), nowMillis - beganMillis);
    }

    @Override
    public void onBroken(BrokenCause cause) {
      endPatience();
      endWork(endpoint.id());
      long nowMillis = context.nowMillis();
      noteBroken(health, cause);
      if (exchange.isBegun()) {
        breakOff("endpoint " + endpoint.id() + ": " + cause);
      } else if (cause.mayHaveArrived()) {
        follow(ledger.broken(nowMillis), "endpoint " + endpoint.id() + ": " + cause);
      } else {
        follow(ledger.notSent(), "endpoint " + endpoint.id() + ": " + cause);
      }
    }

    void tooSlow() {
      if (exchange.isBegun() || !ledger.canRepeat(context.nowMillis())) {
        return;
      }
      abortSend();
      endWork(endpoint.id());
      long nowMillis = context.nowMillis();
      noteBroken(health, BrokenCause.SILENT);
      follow(ledger.broken(nowMillis), "endpoint " + endpoint.id() + " is silent");
    }
  }
}
