"""Call services through cassiaquay.

>>> import cassiaquay
>>> settings = cassiaquay.Settings(seeds=["127.0.0.1:8101"], credential="secret")
>>> async with cassiaquay.Session(settings) as session:
...     answer = await session.ask("tutor-assist", "What is a prime?", deadline=5.0)
...     print(answer.text)
"""

from . import adapters, api, exceptions, hooks, models, sessions

Answer = models.Answer
Outcome = models.Outcome
Session = sessions.Session
Settings = models.Settings
ask = api.ask
call = api.call
cancel = api.cancel
outcome = api.outcome

__all__ = [
    "Answer",
    "Outcome",
    "Session",
    "Settings",
    "adapters",
    "ask",
    "call",
    "cancel",
    "exceptions",
    "hooks",
    "outcome",
]
