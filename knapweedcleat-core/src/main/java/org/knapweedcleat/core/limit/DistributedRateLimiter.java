package org.knapweedcleat.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.knapweedcleat.core.config.AccountSpec;
import org.knapweedcleat.core.id.AccountId;
import org.knapweedcleat.core.id.FailureDomainId;
import org.knapweedcleat.core.id.IncarnationId;
import org.knapweedcleat.core.id.Revision;
import org.knapweedcleat.core.invariant.InvariantMonitor;
import org.knapweedcleat.core.membership.MembershipView;

/**
 * A distributed rate limiter: all instances together never exceed a client account's rate and
 * burst.
 *
 * <p>The fleet document gives each failure domain a share of every account. Within a failure
 * domain, each of N instances owns 1/N of it once all others count the instance, and pledges its
 * share by a short lease to the home of the account's slot. A home grants only from its own share
 * and from the pledges that it holds. The holder measures a lease from when it sent the request,
 * the issuer from when it answered, plus clock drift. So two homes together never use more than the
 * whole, a process resumes from a pause without tokens, and a lost message only wastes tokens.
 *
 * <p>Times are milliseconds of the process's monotonic clock. Every call may return grants and
 * denials of earlier acquisitions.
 */
public final class DistributedRateLimiter {

  /** The number of faster renewals after a membership change, and their speed-up factor. */
  private static final int FAST_RENEWALS = 4;

  private final IncarnationId self;
  private final LimitSettings settings;
  private final AccountTable accounts;
  private final LocalBuckets buckets;
  private final ShareOwnership ownership;
  private final PledgeExchange exchange;
  private final PendingDraws pending = PendingDraws.empty();
  private final DrawHandler drawHandler;
  private MembershipView view;
  private long nowMillis = Long.MIN_VALUE;
  private long nextRenewMillis = Long.MIN_VALUE;
  private int fastRenewalsLeft;
  private long refundNumber;

  private DistributedRateLimiter(
      IncarnationId self,
      FailureDomainId domain,
      LimitSettings settings,
      InvariantMonitor monitor) {
    this.self = self;
    this.settings = settings;
    this.accounts = AccountTable.of(domain, settings);
    this.buckets = LocalBuckets.of(accounts, monitor);
    this.ownership = ShareOwnership.of(self.instance(), settings);
    this.exchange = PledgeExchange.of(self, settings, buckets, ownership);
    this.drawHandler = DrawHandler.of(settings, monitor, accounts, buckets, exchange);
  }

  /**
   * Returns the limiter of an instance that owns no share yet.
   *
   * @param self this instance's incarnation
   * @param domain this instance's failure domain
   * @param settings the timing settings
   * @param monitor the monitor that counts invariant violations
   * @return the limiter
   * @throws NullPointerException if an argument is null
   */
  public static DistributedRateLimiter of(
      IncarnationId self,
      FailureDomainId domain,
      LimitSettings settings,
      InvariantMonitor monitor) {
    return new DistributedRateLimiter(
        Objects.requireNonNull(self, "self"),
        Objects.requireNonNull(domain, "domain"),
        Objects.requireNonNull(settings, "settings"),
        Objects.requireNonNull(monitor, "monitor"));
  }

  /**
   * Applies the client accounts of a document; a document that is not newer is ignored.
   *
   * @param nowMillis the time
   * @param revision the document's revision
   * @param specs the client accounts
   * @param allDomains the failure domains of the document
   * @return what is to be done
   */
  public List<LimitAction> configure(
      long nowMillis,
      Revision revision,
      Collection<AccountSpec> specs,
      Set<FailureDomainId> allDomains) {
    List<LimitAction> actions = advance(nowMillis);
    if (revision.isAfter(accounts.revision())) {
      buckets.configure(this.nowMillis, revision, specs, allDomains);
      confirmIfApplied();
    }
    return actions;
  }

  /**
   * Applies a new membership view.
   *
   * @param nowMillis the time
   * @param view the view
   * @return what is to be done
   */
  public List<LimitAction> updateMembers(long nowMillis, MembershipView view) {
    final List<LimitAction> actions = advance(nowMillis);
    this.view = view;
    ownership.updateMembers(view);
    if (ownership.isDoubtful() && ownership.isActive()) {
      dropShare(this.nowMillis, this.nowMillis);
    }
    exchange.updateMembers(this.nowMillis, view, actions);
    confirmIfApplied();
    nextRenewMillis = this.nowMillis;
    fastRenewalsLeft = FAST_RENEWALS;
    return actions;
  }

  /**
   * Acquires tokens locally or from the account's home.
   *
   * @param nowMillis the time
   * @param draw the id of the acquisition
   * @param account the client account
   * @param tokens the number of tokens, at least 1
   * @return what is to be done; the outcome is included or comes from a later call
   * @throws IllegalArgumentException if the count is not positive
   */
  public List<LimitAction> acquire(long nowMillis, DrawId draw, AccountId account, long tokens) {
    requireCount(tokens, 1);
    List<LimitAction> actions = advance(nowMillis);
    DomainAccount domainAccount = accounts.find(account);
    LimitMessage.DrawAnswer answer = drawHandler.drawLocally(this.nowMillis, draw, account, tokens);
    IncarnationId home = domainAccount == null ? null : exchange.home(domainAccount.slot());
    if (answer.granted() || !answer.reason().isRetryable() || home == null || home.equals(self)) {
      actions.add(outcome(draw, account, tokens, answer));
      return actions;
    }
    long deadlineMillis = this.nowMillis + settings.drawTimeoutMillis();
    pending.add(new PendingDraws.PendingDraw(draw, account, tokens, home, deadlineMillis));
    actions.add(new LimitAction.Send(home, new LimitMessage.Draw(draw, account, tokens)));
    return actions;
  }

  /**
   * Returns tokens that were granted but not used.
   *
   * @param nowMillis the time
   * @param account the client account
   * @param tokens the number of tokens, at least 0
   * @return what is to be done
   * @throws IllegalArgumentException if the count is negative
   */
  public List<LimitAction> refund(long nowMillis, AccountId account, long tokens) {
    requireCount(tokens, 0);
    List<LimitAction> actions = advance(nowMillis);
    DomainAccount domainAccount = accounts.find(account);
    if (domainAccount == null) {
      return actions;
    }
    IncarnationId home = exchange.home(domainAccount.slot());
    if (home == null || home.equals(self) || this.buckets.fraction(domainAccount.slot()) > 0) {
      this.buckets.refund(this.nowMillis, domainAccount, tokens);
      return actions;
    }
    refundNumber++;
    long homeMillis = exchange.latestPeerMillis(home);
    LimitMessage refund = new LimitMessage.Refund(refundNumber, account, tokens, homeMillis);
    actions.add(new LimitAction.Send(home, refund));
    return actions;
  }

  /**
   * Handles a message of another instance.
   *
   * @param nowMillis the time
   * @param from the sender
   * @param message the message
   * @return what is to be done
   */
  public List<LimitAction> receive(long nowMillis, IncarnationId from, LimitMessage message) {
    List<LimitAction> actions = advance(nowMillis);
    dispatch(from, message, actions);
    return actions;
  }

  /**
   * Performs periodic work; to be called several times per draw timeout.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<LimitAction> tick(long nowMillis) {
    final List<LimitAction> actions = advance(nowMillis);
    if (ownership.activate(this.nowMillis)) {
      exchange.refreshFractions(this.nowMillis);
    }
    confirmIfApplied();
    drawHandler.prune(this.nowMillis);
    if (this.nowMillis >= nextRenewMillis && view != null) {
      nextRenewMillis = this.nowMillis + renewMillis();
      exchange.refreshFractions(this.nowMillis);
      buckets.startPeriod();
      sendJoinRequests(actions);
      exchange.renew(this.nowMillis, view, actions);
    }
    return actions;
  }

  /**
   * Returns whether this instance owns its share of all client accounts.
   *
   * @return false while it is joining, after a pause until it has joined again, and after handover
   */
  public boolean ownsShare() {
    return ownership.isActive();
  }

  /**
   * Returns all held pledges with their tokens and permanently gives up this instance's share, for
   * a planned stop.
   *
   * @param nowMillis the time
   * @return what is to be done
   */
  public List<LimitAction> handOver(long nowMillis) {
    List<LimitAction> actions = advance(nowMillis);
    exchange.releaseAll(this.nowMillis, actions);
    ownership.relinquish();
    exchange.refreshFractions(this.nowMillis);
    if (view != null) {
      exchange
          .peers()
          .forEach(peer -> actions.add(new LimitAction.Send(peer, new LimitMessage.Ended())));
    }
    return actions;
  }

  /** Returns the fraction of an account's total rate and burst that this instance may use. */
  double accountFraction(AccountId account) {
    DomainAccount domainAccount = accounts.find(account);
    return domainAccount == null
        ? 0
        : domainAccount.accountFraction(buckets.fraction(domainAccount.slot()));
  }

  private void dispatch(IncarnationId from, LimitMessage message, List<LimitAction> actions) {
    if (message instanceof LimitMessage.JoinRequest request) {
      ownership
          .handleJoin(from, request, accounts.confirmedRevision())
          .ifPresent(answer -> actions.add(new LimitAction.Send(from, answer)));
      exchange.refreshFractions(nowMillis);
    } else if (message instanceof LimitMessage.JoinAnswer answer) {
      ownership.handleAnswer(nowMillis, from, answer);
    } else if (message instanceof LimitMessage.PledgeRequest request) {
      exchange.handleRequest(nowMillis, from, request, actions);
    } else if (message instanceof LimitMessage.Pledge pledge) {
      exchange.handlePledge(nowMillis, from, pledge);
    } else if (message instanceof LimitMessage.Release release) {
      exchange.handleRelease(nowMillis, from, release);
    } else if (message instanceof LimitMessage.Draw draw) {
      actions.add(new LimitAction.Send(from, drawHandler.answer(nowMillis, from, draw)));
    } else if (message instanceof LimitMessage.DrawAnswer answer) {
      handleDrawAnswer(from, answer, actions);
    } else if (message instanceof LimitMessage.CancelDraw cancel) {
      drawHandler.cancel(nowMillis, from, cancel.draw());
    } else if (message instanceof LimitMessage.Refund refund) {
      drawHandler.refund(nowMillis, from, refund);
    } else if (message instanceof LimitMessage.Ended) {
      ownership.handleEnded(nowMillis, from);
    }
  }

  /** Advances the time; after a pause, the share is given up as of the last call before it. */
  private List<LimitAction> advance(long millis) {
    boolean paused = nowMillis != Long.MIN_VALUE && millis - nowMillis > settings.pauseMillis();
    if (paused) {
      dropShare(nowMillis, millis);
    }
    nowMillis = Math.max(nowMillis, millis);
    ownership.advance(nowMillis);
    exchange.expire(nowMillis);
    List<LimitAction> actions = new ArrayList<>();
    for (PendingDraws.PendingDraw timedOut : pending.removeExpired(nowMillis)) {
      handleTimeout(timedOut, actions);
    }
    return actions;
  }

  private long renewMillis() {
    if (fastRenewalsLeft == 0) {
      return settings.renewMillis();
    }
    fastRenewalsLeft--;
    return Math.max(1, settings.renewMillis() / FAST_RENEWALS);
  }

  private void dropShare(long atMillis, long untilMillis) {
    ownership.restartJoin(untilMillis);
    exchange.refreshFractions(atMillis);
    buckets.reset(atMillis);
  }

  /** Confirms the document once no failure domain can still use older weights. */
  private void confirmIfApplied() {
    Revision revision = accounts.revision();
    if (view == null || accounts.isConfirmed() || revision.equals(Revision.NONE)) {
      return;
    }
    boolean applied = view.isAppliedInAllDomains(revision);
    if (accounts.isAwaitingFirstConfirmation()) {
      boolean current = applied && !view.isSupersededInAnyDomain(revision);
      applied = current && ownership.isActive() || ownership.isConfirmedByPeer(revision);
    }
    if (applied) {
      buckets.confirm(nowMillis);
    }
  }

  private void sendJoinRequests(List<LimitAction> actions) {
    LimitMessage request = new LimitMessage.JoinRequest(ownership.generation());
    ownership.joinTargets().forEach(peer -> actions.add(new LimitAction.Send(peer, request)));
  }

  private static LimitAction outcome(
      DrawId draw, AccountId account, long tokens, LimitMessage.DrawAnswer answer) {
    if (answer.granted()) {
      return new LimitAction.Granted(draw, account, tokens);
    }
    return new LimitAction.Denied(draw, account, answer.reason(), answer.retryAfterMillis());
  }

  private void handleDrawAnswer(
      IncarnationId from, LimitMessage.DrawAnswer answer, List<LimitAction> actions) {
    PendingDraws.PendingDraw draw = pending.removeAnswered(answer.draw(), from);
    if (draw != null) {
      actions.add(outcome(draw.draw(), draw.account(), draw.tokens(), answer));
    }
  }

  /** Cancels a timed-out draw and retries it locally, where an unpledged share may suffice. */
  private void handleTimeout(PendingDraws.PendingDraw timedOut, List<LimitAction> actions) {
    actions.add(
        new LimitAction.Send(timedOut.home(), new LimitMessage.CancelDraw(timedOut.draw())));
    LimitMessage.DrawAnswer answer =
        drawHandler.drawLocally(nowMillis, timedOut.draw(), timedOut.account(), timedOut.tokens());
    if (!answer.granted() && answer.reason() == DenialReason.NO_SHARE) {
      answer =
          DrawHandler.denied(
              timedOut.draw(), DenialReason.HOME_UNREACHABLE, answer.retryAfterMillis());
    }
    actions.add(outcome(timedOut.draw(), timedOut.account(), timedOut.tokens(), answer));
  }

  private static void requireCount(long tokens, long minimum) {
    if (tokens < minimum) {
      throw new IllegalArgumentException("tokens must be at least " + minimum + ": " + tokens);
    }
  }
}
